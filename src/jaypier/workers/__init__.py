"""Control of workers: the platform's protocol and one session for each worker."""
