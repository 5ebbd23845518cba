"""Who is there, who watches the platform, and who links to whom."""
