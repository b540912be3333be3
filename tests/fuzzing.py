"""Settings of the property tests of the borders.

CI runs the same few examples each time. `make fuzz` sets FUZZ_EXAMPLES to run
more, which differ each time.
"""

from __future__ import annotations

import os

import hypothesis

EXAMPLES_VARIABLE = "FUZZ_EXAMPLES"
CI_EXAMPLES = 200

fuzz = hypothesis.settings(
    max_examples=int(os.environ.get(EXAMPLES_VARIABLE, CI_EXAMPLES)),
    derandomize=EXAMPLES_VARIABLE not in os.environ,
    deadline=None,
    print_blob=True,
)
