"""Release notes: operators' changes to teams, jobs, data centres and queues."""
