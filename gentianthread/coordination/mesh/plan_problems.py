"""Log the values of a configuration that could not be read."""

from ...events import PLAN_FIELD_UNREADABLE, PLAN_ITEM_LEFT_OUT, PLAN_PROBLEMS_LEFT_OUT
from ...logs import log
from ...state.fleet_plan import FleetPlan

# Maximum number of lines for one plan. A mistake that repeats in some hundred services would fill
# the log of each node at once.
MAX_LOGGED_PROBLEMS = 50


def log_plan_problems(key: str, plan: FleetPlan) -> None:
    """Log the problems of a plan that is put in force.

    Args:
        key: Key of its document.
        plan: The plan.
    """
    for problem in plan.problems[:MAX_LOGGED_PROBLEMS]:
        fields = {"field": problem.field, "expected": problem.expected}
        if problem.used is None:
            log(PLAN_ITEM_LEFT_OUT, key=key, version=plan.version, **fields)
        else:
            log(PLAN_FIELD_UNREADABLE, key=key, version=plan.version, used=problem.used, **fields)
    left_out = len(plan.problems) - MAX_LOGGED_PROBLEMS
    if left_out > 0:
        log(PLAN_PROBLEMS_LEFT_OUT, key=key, version=plan.version, problems=left_out)
