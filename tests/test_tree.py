"""Limits on the tree itself, and the README's example."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_stays_within_its_lines_and_columns() -> None:
    lines = (ROOT / "lupinladder" / "balancing" / "balancer.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 500
    assert max(len(line) for line in lines) <= 110
    assert "lupinladder/balancing/" in lines[0]


def test_the_module_has_no_clock_and_no_input() -> None:
    text = (ROOT / "lupinladder" / "balancing" / "balancer.py").read_text()
    imports = set(re.findall(r"^(?:from|import) (\S+)", text, re.M))
    assert imports == {
        "__future__",
        "bisect",
        "math",
        "lupinladder.balancing.actions",
        "lupinladder.balancing.events",
        "lupinladder.balancing.settings",
    }
    assert not re.search(r"\b(hash|open|print|input)\(", text)


def test_the_readmes_example_runs() -> None:
    readme = (ROOT / "README.md").read_text()
    [example] = re.findall(r"```python\n(.*?)```", readme, re.S)
    scope: dict[str, object] = {}
    exec(example, scope)
    assert "sent" in scope and scope["sent"] == [7]


def test_a_built_wheel_installs_and_imports_without_the_tree(tmp_path: Path) -> None:
    pip = [sys.executable, "-m", "pip", "-q", "--disable-pip-version-check"]
    build = [*pip, "wheel", "--no-deps", "--no-build-isolation", "-w", str(tmp_path), str(ROOT)]
    subprocess.run(build, check=True, cwd=tmp_path, capture_output=True)
    [wheel] = tmp_path.glob("lupinladder-*.whl")
    target = tmp_path / "site"
    install = [*pip, "install", "--no-deps", "--no-index", "--target", str(target), str(wheel)]
    subprocess.run(install, check=True, cwd=tmp_path, capture_output=True)
    code = "import lupinladder; print(lupinladder.__file__, lupinladder.Balancer.__name__)"
    env = {"PYTHONPATH": str(target)}
    ran = subprocess.run([sys.executable, "-c", code], check=True, cwd=tmp_path, env=env, capture_output=True)
    assert ran.stdout.decode().split() == [str(target / "lupinladder" / "__init__.py"), "Balancer"]
    assert (target / "lupinladder" / "py.typed").exists()
