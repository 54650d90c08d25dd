"""The daemon's own pages: live, ready, status, owner of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.web import RequestHandler

from berylstage_daemon.clock import now
from berylstage_daemon.errors import RequestError

if TYPE_CHECKING:
    from berylstage_daemon.application import Application


class AppHandler(RequestHandler):
    """A page that reads the application."""

    def initialize(self, app: Application) -> None:
        """Keep the application.

        Parameters
        ----------
        app : Application
        """
        self.app = app


class LiveHandler(AppHandler):
    """Tells whether this VM works or has to be replaced."""

    def get(self) -> None:
        """Answer 200, or 503 when the protocol core has stopped."""
        live = self.app.live()
        self.set_status(200 if live else 503)
        self.finish({"live": live})


class ReadyHandler(AppHandler):
    """Tells the balancer whether to send callers here."""

    def get(self) -> None:
        """Answer 200 or 503."""
        ready = self.app.ready()
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready})


class StatusHandler(AppHandler):
    """Tells what this VM knows and does, as JSON."""

    def get(self) -> None:
        """Answer with the status."""
        self.finish(status_document(self.app))


class PageHandler(AppHandler):
    """Tells the same as a page that a person can read."""

    def get(self) -> None:
        """Answer with the page."""
        self.render("status.html", status=status_document(self.app))

    def get_template_path(self) -> str:
        """Return the folder of this module, where the template stands."""
        return __file__.rpartition("/")[0]


class OwnerHandler(AppHandler):
    """Tells which target owns a key."""

    def get(self, service: str, key: str) -> None:
        """Answer with the owner, or 404.

        Parameters
        ----------
        service, key : str
            Decoded by tornado.
        """
        try:
            self.finish(self.app.control.routes.owner(service, key))
        except RequestError as exc:
            self.set_status(exc.status)
            self.finish({"error": str(exc), "reason": exc.reason})


def status_document(app: Application) -> dict:
    """Return the status as the JSON document that pages and operators read.

    Parameters
    ----------
    app : Application

    Returns
    -------
    dict
        Written as JSON at once; the fields stand in docs/operating/daemon.md.
    """
    known = app.control.node.status(now())
    return {
        "vm": app.cfg.vm,
        "data_centre": app.cfg.data_centre,
        "ready": app.ready(),
        "stopping": app.stopping,
        "configuration_revision": known.configuration_revision,
        "assignment_revision": known.revision,
        "lease_until_ms": int(known.lease_left * 1000),
        "role": known.role,
        "electorate": known.electorate,
        "muted": known.muted,
        "store_lost": known.store_lost,
        "store_calls": known.store_calls,
        "active_shards": known.active_shards,
        "waiting_shards": known.waiting_shards,
        "targets": app.leaders.status(known.targets),
        "peers": app.control.peers(),
        "histograms": _histograms(app),
    }


def _histograms(app: Application) -> list[dict]:
    """Return the time to answer for each tenant and class."""
    return [
        {
            "tenant": summary.tenant,
            "class": summary.request_class,
            "count": summary.count,
            "ms": {f"p{p:g}": value for p, value in summary.percentiles.items()},
        }
        for summary in app.metrics.summaries()
    ]
