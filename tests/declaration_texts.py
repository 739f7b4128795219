"""Provide small declarations as texts."""

SMALL = """
[availability-zone larisa-a]
[availability-zone volos-a]

[link larisa-a volos-a]
delay = 5 ms

[profile careful]
based_on = exactly-once
queue_target = 40 ms

[service catalogue]
profile = lookup

[service orders]
profile = careful

[route stock]
service = catalogue
method = GET
path = /stock
idempotent = yes
priority = normal

[route place-order]
service = orders
method = POST
path = /orders
idempotent = no
priority = critical
deadline = 3 s

[upstream catalogue-1]
service = catalogue
availability_zone = larisa-a
host = 10.0.0.1
peer_port = 7001
caller_port = 7000
target_port = 8000
slots = 30
connections = 200

[upstream orders-1]
service = orders
availability_zone = volos-a
host = 10.0.0.2
peer_port = 7001
caller_port = 7000
target_port = 8000
slots = 10
connections = 80

[organisation alpha]
rate = 400/s
burst = 200

[key alpha1]
organisation = alpha
digest = 00112233445566778899aabbccddeeff:{digest}
""".format(digest="ab" * 32)


def small_with(old: str, new: str) -> str:
    """Return the small declarations with one text replaced.

    Raises:
        ValueError: The old text does not occur exactly once.
    """
    if SMALL.count(old) != 1:
        raise ValueError(f"{old!r} occurs {SMALL.count(old)} times instead of once")
    return SMALL.replace(old, new)
