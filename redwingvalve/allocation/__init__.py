"""Places at endpoints are granted by the node that counts them."""
