"""Write the settings of node processes on loopback."""

NODE_SETTINGS = """
[node]
upstream = {upstream}
availability_zone = {zone}
[listeners]
callers = 127.0.0.1:{callers}
target = 127.0.0.1:{inner}
operator = 127.0.0.1:{operator}
peers = 127.0.0.1:{peers}
[target]
address = 127.0.0.1:{target}
[peers]
fleet_secret = not a secret, only used on loopback
[log]
level = warning
"""
