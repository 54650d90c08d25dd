"""When a VM reads the store's changes, and when it asks the publisher for them.

Load: up to 200 VMs that share a store that bills each call, and of which
hundreds may lose the publisher or the store at the same moment.
"""

from __future__ import annotations

# Interval between two reads of all changes, or between an update from another VM and a
# read of one's own. Each target reports about once a second, so a watch without a pause
# would cost one call per report. 1.2 s leaves 0.8 s of the two seconds within which a
# change must be in force.
READ_INTERVAL_SECONDS = 1.2
# Read interval of the publisher. It is less than half of the normal interval, so that
# the update after a lost one arrives before the other VMs read the store themselves.
PUBLISHER_READ_INTERVAL_SECONDS = 0.45
# Read interval of the local publisher, which serves its data centre while there is no
# publisher. Without it, the loss of the publisher makes hundreds of VMs read the store
# at the same moment, again and again until there is a new one. The interval is shorter
# than theirs, and longer than the gap that one lost update of the publisher leaves.
LOCAL_PUBLISHER_READ_INTERVAL_SECONDS = 0.7
# Read interval while records have expired, so that their return is noticed sooner.
EXPIRED_READ_INTERVAL_SECONDS = 0.25
# Read interval while callers ask for keys whose owner this VM does not know. At the
# normal interval, a VM that missed an assignment, such as one that has just started,
# refuses these requests for up to 0.9 s. Four reads a second are a tenth of what the
# store allows 40 VMs.
REQUESTED_READ_INTERVAL_SECONDS = 0.25
# Shortest wait for the next read. A timer rounds a shorter one down to none.
MIN_WAIT_SECONDS = 0.001
# Seconds before a due read at which the publisher is asked for the changes. It is the
# limit for its answer, so a question without an answer does not delay the read.
ASK_LEAD_SECONDS = 0.2
# Time after a question without an answer in which the publisher is not asked again. The
# delay of the read that follows is thus at most the limit for the answer.
ASK_RETRY_SECONDS = 1.0
# Time by which the check of a failing store comes after the next call for the lease of
# this VM, which is a check itself.
CHECK_DELAY_SECONDS = 1.0
# Age of this VM's view above which it reads all records rather than their changes.
FULL_READ_AGE_SECONDS = 2.0
# Longest wait of the watch on all keys. With any target alive it returns at once.
WATCH_WAIT_SECONDS = 1.0
# Timeout of a call that checks whether the store can be reached.
PROBE_TIMEOUT_SECONDS = 0.35
# Shortest delay before a failed call is retried.
RETRY_SECONDS = 0.35
# Longest retry delay while other VMs publish changes that this VM has missed: a third
# of the time for which it may serve requests from an outdated view.
MAX_REQUESTED_RETRY_SECONDS = 1.0
# Calls per second that all VMs together make to a store that does not answer. These
# calls are billed like others, and a store that recovers has other work to do.
OUTAGE_CALLS_PER_SECOND = 30.0


def read_interval(
    has_expired_records: bool, is_publisher: bool, is_local_publisher: bool
) -> float:
    """Return the seconds from the time of a VM's view to its next read."""
    if has_expired_records:
        return EXPIRED_READ_INTERVAL_SECONDS
    if is_publisher:
        return PUBLISHER_READ_INTERVAL_SECONDS
    return (
        LOCAL_PUBLISHER_READ_INTERVAL_SECONDS
        if is_local_publisher
        else READ_INTERVAL_SECONDS
    )


def read_retry_delay(has_duty: bool, outage_seconds: float, vm_count: int) -> float:
    """Return the seconds to wait before a failed read is retried.

    The coordinator and its standbys must know at once when the store recovers. The
    other VMs learn it from the first of them. A single failed call is retried soon,
    since the cause may be a saturated link of this VM.
    """
    if has_duty:
        return RETRY_SECONDS
    spread = vm_count / OUTAGE_CALLS_PER_SECOND
    return max(RETRY_SECONDS, min(outage_seconds, spread))
