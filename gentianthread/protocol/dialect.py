"""Define which HTTP header fields a deployment uses between callers, nodes and targets."""

import attrs

from ..registry import Registry


@attrs.frozen
class HttpDialect:
    """Store the header field names of a deployment, which are compared case-insensitively.

    Attributes:
        request_id: Id of one attempt of a caller; targets echo it.
        remaining_ms: Time that the sender still waits for the answer, in whole milliseconds.
        seal: Proof by the target that it made the answer.
        organisation: Organisation for which a request runs; set by the node.
        expected_target: Id of the upstream that must run the request; others answer 421.
        rate_limit: Requests per second, a decimal number, that a target takes from all nodes
            together for as long as its answers name it.
        leaving: Present with the value 1 in the answers of a target that stops.
        load: Running requests, queued requests and slots of a target; a fourth figure may tell how
            long work takes on its instance at present, in percent of the usual time.
        warm_up: Time in ms for which a target stays cold, in its health responses.
        not_run: Present in an answer if the target did not run the request.
        retry_after: Seconds, possibly with a fraction, after which a caller may retry.
        caller_service: Service of the instance from which the request originates; set by the node.
        instance: Id of the upstream that answers.
        key: API key of an organisation, without an authentication scheme.
        ready_path: Path (not a header field) at which the platform checks the node's readiness.
    """

    request_id: str
    remaining_ms: str
    seal: str
    organisation: str
    expected_target: str
    rate_limit: str
    leaving: str
    load: str
    warm_up: str
    not_run: str
    retry_after: str
    caller_service: str
    instance: str
    key: str
    ready_path: str


# Dialects by the name that is used in the settings.
dialects: Registry[HttpDialect] = Registry("HTTP dialect")
