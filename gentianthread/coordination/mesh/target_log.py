"""Log and count the rejections and stray answers of the target of this node."""

from ...clock import Clock
from ...decisions import DecisionLog
from ...events import RUN_REJECTED, STRAY_ANSWER
from ...ids import ServiceId
from ...metrics import Metrics
from ...protocol.messages_mesh import RunRequest
from ...transport.target_connection import TargetConnection
from ...transport.target_pool import PooledResponse

# Maximum log lines per second. They have limits of their own, as refusals by the node are far more
# frequent under overload.
REJECTION_LINES_PER_S = 50
STRAY_LINES_PER_S = 5


class TargetLog:
    """Log and count what a target answers beside the answers to requests that it has run."""

    def __init__(self, service_id: ServiceId, clock: Clock, metrics: Metrics):
        """Create a log without entries.

        Args:
            service_id: Service of the target.
            clock: Clock of the times from requests to answers.
            metrics: Counts rejections and stray answers.
        """
        self._service_id = service_id
        self._clock = clock
        self._metrics = metrics
        self._rejections = DecisionLog(clock, REJECTION_LINES_PER_S)
        self._strays = DecisionLog(clock, STRAY_LINES_PER_S)

    def record_rejection(
        self, request: RunRequest, pooled: PooledResponse, started_ms: float
    ) -> None:
        """Record that the target said that it did not run a request.

        Args:
            request: The request.
            pooled: The response.
            started_ms: Time at which the request was sent.
        """
        self._metrics.count("target.rejected")
        self._rejections.write(
            RUN_REJECTED,
            request_id=request.request_id,
            upstream_id=request.upstream_id,
            status=pooled.response.status,
            took_ms=self._clock.now_ms() - started_ms,
            request_number=pooled.request_number,
            connection=pooled.connection_number,
        )

    def record_stray(self, connection: TargetConnection, description: str) -> None:
        """Record that the target sent bytes that belong to no request.

        Args:
            connection: The connection on which they came.
            description: What they were.
        """
        self._metrics.count("target.stray_answers")
        self._strays.write(
            STRAY_ANSWER,
            connection=connection.number,
            service_id=self._service_id,
            requests=connection.request_count,
            description=description,
        )
