"""An HTTP/1.1 client and server over asyncio, parsed by httptools."""
