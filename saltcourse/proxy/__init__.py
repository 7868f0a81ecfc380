"""The proxy's host: sockets, timers and the phases of the daemon. No decision on requests is made here.

server                phases: startup, serve, drain, shutdown; reload, and what operators ask
listener, draining    accepting clients; the times of a drain, and lameduck
client_connection     one client from its request to its end, with opening (up to the request),
                      request_attempts (one at a time) and request_events (what the balancer learns)
attempt               one attempt at one backend; health_check: one health check
dispatcher            the owner of the balancer, with connection_monitor and traffic_summary
discovery_client      the endpoint list; peer_link: messages of other proxies
pending_connections   clients without a request; descriptors: who may have how many
messages, actor       what actors send each other, and what an actor is
stream, sockets       TCP connections, and the sockets beneath
"""
