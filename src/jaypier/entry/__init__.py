"""The daemon of an entry VM, through which callers submit jobs."""
