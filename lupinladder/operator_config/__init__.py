"""The operator's own file: what is switched on beyond what the platform asks for. Imported only with one."""
