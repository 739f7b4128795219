"""Store the accepted configuration version and check offered ones."""

import hashlib
from enum import Enum

import attrs
import reactivex
from reactivex.subject import Subject

from ..errors import BundleError
from ..events import CONFIG_ACCEPTED, CONFIG_REFUSED, KEY_WITHDRAWN
from ..ids import ConfigVersion, KeyId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from .bundle import Bundle, decode_plan
from .plan import Plan


class OfferResult(Enum):
    """Classify the result of offering a bundle to the store."""

    ACCEPTED = "accepted"
    ALREADY_CURRENT = "already_current"
    OLDER = "older"
    REFUSED = "refused"


class ConfigStore:
    """Accept bundles of increasing versions, and remove withdrawn keys from the plan in force.

    `current` is the plan in force: the accepted one without the keys whose withdrawal arrived ahead
    of its bundle. `changes` emits it whenever it changes.

    Attributes:
        current: The plan in force, or None before the first one.
        bundle: The accepted bundle, or None.
        last_refusal: Source and reason of the last refusal, or None.
    """

    def __init__(self, metrics: Metrics | None = None):
        """Create an empty store.

        Args:
            metrics: Counts accepted and refused bundles.
        """
        self.current: Plan | None = None
        self.bundle: Bundle | None = None
        self.last_refusal: tuple[str, str] | None = None
        self._metrics = metrics or MemoryMetrics()
        self._accepted: Plan | None = None
        self._withdrawn: dict[KeyId, ConfigVersion] = {}
        self._changes: Subject[Plan] = Subject()
        self._refused: set[tuple[ConfigVersion, bytes]] = set()

    @property
    def changes(self) -> reactivex.Observable[Plan]:
        """Return the observable of plans that come into force; it does not emit the current one."""
        return self._changes

    @property
    def version(self) -> ConfigVersion:
        """Return the accepted version, or 0."""
        return self.bundle.version if self.bundle else ConfigVersion(0)

    @property
    def digest(self) -> bytes:
        """Return the digest of the accepted bundle, or empty bytes."""
        return self.bundle.digest if self.bundle else b""

    @property
    def withdrawn(self) -> dict[KeyId, ConfigVersion]:
        """Return the withdrawn keys whose bundle has not arrived, with the bundle's version."""
        return dict(self._withdrawn)

    def wants(self, version: ConfigVersion, digest: bytes) -> bool:
        """Return whether a bundle is newer than the accepted one and was not refused before."""
        return version > self.version and (version, digest) not in self._refused

    def conflicts(self, version: ConfigVersion, digest: bytes) -> bool:
        """Return whether the version is the accepted one but the digest differs."""
        return self.bundle is not None and version == self.version and digest != self.digest

    def offer(self, bundle: Bundle, source: str) -> OfferResult:
        """Check a bundle and put its plan in force if it is valid and newer.

        Args:
            bundle: The bundle.
            source: Name of its sender, for logs and `last_refusal`.
        """
        if bundle.version < self.version:
            return OfferResult.OLDER
        if bundle.version == self.version and bundle.digest == self.digest:
            return OfferResult.ALREADY_CURRENT
        try:
            if bundle.version == self.version:
                problem = "the accepted bundle of this version has another digest"
                raise BundleError(bundle.version, "digest", problem)
            plan = decode_plan(bundle)
        except BundleError as error:
            self._refuse(bundle, source, error)
            return OfferResult.REFUSED
        self._accept(bundle, plan, source)
        return OfferResult.ACCEPTED

    def withdraw(self, version: ConfigVersion, key_ids: tuple[KeyId, ...]) -> None:
        """Remove keys from the plan in force before the bundle that withdraws them arrives.

        Args:
            version: The version that withdraws them; an accepted one has no effect.
            key_ids: The keys.
        """
        if version <= self.version:
            return
        new_keys = [key for key in key_ids if self._withdrawn.get(key, 0) < version]
        for key_id in new_keys:
            self._withdrawn[key_id] = version
        if self._accepted is not None and any(key in self.current.keys for key in new_keys):
            for key_id in new_keys:
                log(KEY_WITHDRAWN, key_id=key_id, version=version)
            self._put_in_force()

    def _accept(self, bundle: Bundle, plan: Plan, source: str) -> None:
        removed_keys = withdrawn_keys(self._accepted, plan)
        self.bundle, self._accepted = bundle, plan
        self._withdrawn = {
            key_id: version for key_id, version in self._withdrawn.items() if version > plan.version
        }
        self._refused = {entry for entry in self._refused if entry[0] > plan.version}
        self._metrics.count("config.accepted")
        self._metrics.gauge("config.version", plan.version)
        log(CONFIG_ACCEPTED, version=plan.version, source=source)
        for key_id in removed_keys:
            log(KEY_WITHDRAWN, key_id=key_id, version=plan.version)
        self._put_in_force()

    def _put_in_force(self) -> None:
        withdrawn = self._withdrawn
        keys = {name: key for name, key in self._accepted.keys.items() if name not in withdrawn}
        complete = len(keys) == len(self._accepted.keys)
        self.current = self._accepted if complete else attrs.evolve(self._accepted, keys=keys)
        self._changes.on_next(self.current)

    def _refuse(self, bundle: Bundle, source: str, error: BundleError) -> None:
        # A payload that matches its digest is invalid at every source. Any other may be damaged or
        # partly written at this source, so the version is read again.
        if hashlib.sha256(bundle.payload).digest() == bundle.digest:
            self._refused.add((bundle.version, bundle.digest))
        self._metrics.count("config.refused")
        refusal = (source, str(error))
        # A source's invalid bundle is read again until it is replaced; it is logged only once.
        if refusal != self.last_refusal:
            log(CONFIG_REFUSED, source=source, error=error)
        self.last_refusal = refusal


def withdrawn_keys(before: Plan | None, after: Plan) -> tuple[KeyId, ...]:
    """Return the keys that a plan no longer has, in order."""
    return tuple(sorted(set(before.keys) - set(after.keys))) if before else ()
