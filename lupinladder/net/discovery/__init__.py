"""Discovery: the list of the deployment's servers, the watch on its changes, and who is told of them."""
