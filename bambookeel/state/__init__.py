"""The replicated state: its resources and the commands that change them."""
