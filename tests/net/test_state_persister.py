"""What the proxy stores of itself, and whose store it takes for its own."""

from __future__ import annotations

import json
from unittest import TestCase

from lupinladder.net import config
from lupinladder.net.state_persister import deployment_digest
from tests.support.endpoint_lists import configuration


class DeploymentDigest(TestCase):
    def test_it_is_the_one_that_earlier_versions_stored(self) -> None:
        """Another digest would make each proxy leave its own store unused after an upgrade."""
        conf = config.parse(json.dumps(configuration()))
        self.assertEqual(deployment_digest(conf), "6afa77546d9adfde")  # by version 69eb350
