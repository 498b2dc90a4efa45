"""Admission control: account and input limits, deadline margins, retry budgets."""
