"""The embedding example of the README prints what the README says."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_embedding_example_prints_what_the_readme_says() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.findall(r"```python\n(.*?)```", text, re.S)
    expected = re.findall(r"prints `(.*?)`", text)
    assert len(code) == len(expected) == 1
    done = subprocess.run([sys.executable, "-c", code[0]], cwd=ROOT, capture_output=True, text=True)
    assert done.stderr == ""
    assert done.stdout.strip() == expected[0]
