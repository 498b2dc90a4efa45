"""Max-min fair shares of work among client accounts."""
