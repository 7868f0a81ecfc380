"""Which live instance holds the service address: election, transport and announcing."""
