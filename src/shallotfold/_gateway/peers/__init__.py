"""Tell the other hosts what this one knows."""
