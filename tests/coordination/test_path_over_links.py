"""Run the tests of the request path with links between the nodes."""

from ..transport import test_http_server
from . import test_contexts, test_failures, test_idempotency, test_request_path


class TestRequestPathOverLinks(test_request_path.TestRequestPath):
    links = True


class TestNonIdempotentCallsOverLinks(test_failures.TestNonIdempotentCalls):
    links = True


class TestRetriesOverLinks(test_failures.TestRetries):
    links = True


class TestCancellationOverLinks(test_failures.TestCancellation):
    links = True


class TestStreamingOverLinks(test_failures.TestStreaming):
    links = True


class TestIdempotencyOverLinks(test_idempotency.TestIdempotency):
    links = True


class TestContextHandlesOverLinks(test_contexts.TestContextHandles):
    links = True


class TestTrailersOverLinks(test_http_server.TestHeads):
    links = True

    # Random heads do not reach a link; the run without links covers them.
    test_any_bytes_leave_the_listener_working = None
