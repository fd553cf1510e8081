"""Small stand-ins for the platform; never imported by the product."""
