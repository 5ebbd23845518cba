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
from geraniumshelf_core.messages.idempotency import (
    DeciderMoved,
    HandoverAccepted,
    RecordsHandover,
    RunAcknowledged,
    RunFinished,
    RunQuery,
    RunVerdict,
)
from geraniumshelf_core.messages.membership import (
    Failure,
    Heartbeat,
    Hello,
    MemberList,
    MemberListChange,
    MemberListPull,
)
from geraniumshelf_core.messages.roster import (
    MemberDigest,
    MemberPull,
    MemberRows,
)
from geraniumshelf_core.messages.steering import (
    DemandReport,
    LoadReport,
    PlanAnnouncement,
    PlanContents,
)

# A number is never reused for another message; receivers refuse unknown
# numbers. Ranges: 1-9 membership, 10-19 configuration, 20-29 allowances,
# 30-39 at-most-once execution, 40-49 load and steering.
MESSAGE_KINDS: Final[dict[int, type]] = {
    1: Hello,
    2: Heartbeat,
    3: Failure,
    4: MemberList,
    5: MemberRows,
    6: MemberDigest,
    7: MemberPull,
    8: MemberListChange,
    9: MemberListPull,
    10: ConfigurationRequest,
    11: ConfigurationParts,
    20: LoanRequest,
    21: LoanGrant,
    22: LoanReturn,
    23: TokenRequest,
    24: TokenGrant,
    25: TokenSettled,
    30: RunQuery,
    31: RunVerdict,
    32: RunFinished,
    33: RecordsHandover,
    34: HandoverAccepted,
    35: DeciderMoved,
    36: RunAcknowledged,
    40: PlanAnnouncement,
    41: LoadReport,
    42: PlanContents,
    43: DemandReport,
}
