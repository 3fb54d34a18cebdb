"""Development tools: launcher, fake backend servers, proof and soak runs."""
