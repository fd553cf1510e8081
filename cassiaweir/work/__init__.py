"""Jobs, their parts, and the life of a task."""

from cassiaweir.work._models import JobRow, JobSpec, PartRow, TaskSize

__all__ = ["JobRow", "JobSpec", "PartRow", "TaskSize"]
