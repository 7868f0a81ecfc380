"""The proxy daemon: sockets, timers and process lifecycle. The balancer makes all decisions about requests.

server                lifecycle (startup, serve, drain, shutdown), reload, and the admin interface's queries
listener              accepts client connections
draining              the timeline of a drain, and lameduck
client_connection     one client connection, from its request to its end
opening               the phase of a client connection before its request
request_attempts      the attempts of one request, one at a time
request_events        converts an OPEN line into events for the balancer
attempt               one attempt at one backend
health_check          one health check of a backend
dispatcher            owns the balancer and executes its actions
connection_monitor    periodic checks of the established connections
traffic_summary       periodic log lines about traffic
discovery_client      fetches and watches the endpoint list
peer_link             exchanges messages with the other proxies
pending_connections   client connections that have not sent a request yet
connection_context    state that all client connections share
descriptors           the limit on file descriptors
messages, actor       the messages between actors, and the base class of actors
stream, sockets       TCP connections, and the creation of sockets
clock, errors         the proxy's clock and exceptions
"""
