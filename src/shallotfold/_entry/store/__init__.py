"""Call the store on behalf of the reducer."""
