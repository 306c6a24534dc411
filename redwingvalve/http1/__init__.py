"""HTTP/1.1 connections over asyncio, parsed by httptools."""
