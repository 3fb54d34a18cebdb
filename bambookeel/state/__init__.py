"""Resources and how one committed command changes them."""
