"""Network layer: links between the processes, and HTTP to all other parties."""
