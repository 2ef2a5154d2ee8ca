"""Discovery: watches the list of the deployment's servers and applies its changes."""
