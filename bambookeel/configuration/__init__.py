"""The configuration document: queues, services and teams."""
