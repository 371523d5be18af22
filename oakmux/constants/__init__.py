"""Constants of oakmux by concern, with their units. Use them as `constants.NAME`.

Limits and times that differ between deployments come from the settings instead.
"""

from oakmux.constants.agents import *
from oakmux.constants.api import *
from oakmux.constants.autoscaling import *
from oakmux.constants.controller import *
from oakmux.constants.leadership import *
from oakmux.constants.schedules import *
from oakmux.constants.scheduling import *
from oakmux.constants.state import *
from oakmux.constants.transport import *
