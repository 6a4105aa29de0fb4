"""What the cases 6 to 10 share: starting the program as the platform does, a record, and settings of a site."""
