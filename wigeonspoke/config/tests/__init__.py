"""Tests of questionnaires and the publication of configurations."""
