"""Admission control: fair shares, retry budgets and retry times, applied before the router decides."""
