"""The numbers of all message kinds on the wire."""

from typing import Final

from geraniumshelf_core.messages.allowance import (
    LoanGrant,
    LoanRequest,
    LoanReturn,
    TokenGrant,
    TokenRequest,
    TokenSettled,
)
from geraniumshelf_core.messages.configuration import (
    ConfigurationParts,
    ConfigurationRequest,
)
from geraniumshelf_core.messages.membership import Failure, Heartbeat, Hello

# A number is never given to another message; receivers refuse unknown ones.
# 1-9 membership, 10-19 configuration, 20-29 allowances, 30-39 at-most-once,
# 40-49 load and steering.
MESSAGE_KINDS: Final[dict[int, type]] = {
    1: Hello,
    2: Heartbeat,
    3: Failure,
    10: ConfigurationRequest,
    11: ConfigurationParts,
    20: LoanRequest,
    21: LoanGrant,
    22: LoanReturn,
    23: TokenRequest,
    24: TokenGrant,
    25: TokenSettled,
}
