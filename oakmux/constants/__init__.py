"""Constants of oakmux by concern, each with its unit and the reason for its value.

Limits and times that differ between deployments come from the settings instead. Use these as
`constants.NAME`.
"""

from oakmux.constants.agents import *  # noqa: F403
from oakmux.constants.api import *  # noqa: F403
from oakmux.constants.autoscaling import *  # noqa: F403
from oakmux.constants.controller import *  # noqa: F403
from oakmux.constants.leadership import *  # noqa: F403
from oakmux.constants.schedules import *  # noqa: F403
from oakmux.constants.scheduling import *  # noqa: F403
from oakmux.constants.state import *  # noqa: F403
from oakmux.constants.transport import *  # noqa: F403
