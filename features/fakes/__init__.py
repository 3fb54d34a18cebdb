"""Small fakes at the system's interfaces."""
