"""Finds whose request it is, and whether its API key still counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.errors import Refused, UnknownApiKey

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.configuration_confirmer import ConfigurationConfirmer
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.request_errors import RequestErrors
    from berylstage_entry.routes import Route
    from berylstage_entry.services import Configuration
    from berylstage_entry.workspaces import Workspace


class RequestAuthenticator:
    """Finds the workspaces of requests.

    Parameters
    ----------
    cluster_view : ClusterView
    errors : RequestErrors

    Attributes
    ----------
    confirmer : ConfigurationConfirmer or None
        Proves how recent the configuration is, for requests with API keys.
    """

    def __init__(self, cluster_view: ClusterView, errors: RequestErrors):
        self._cluster_view = cluster_view
        self._errors = errors
        self.confirmer: ConfigurationConfirmer | None = None

    async def authenticate(
        self, req: CallerRequest, route: Route, cfg: Configuration
    ) -> Workspace | None:
        """Set the workspace of a request, and return it; None if it needs none.

        Raises
        ------
        UnknownApiKey
        Refused
            The configuration may be older than the time allowed for an API key to be
            taken away.
        """
        if cfg.workspaces is None:
            return None
        workspace = _find_workspace(req, route, cfg)
        if workspace is None or self.confirmer is None or route.is_public:
            return workspace
        if not await self.confirmer.wait_until_recent():
            detail = f"configuration {cfg.version} age {self.confirmer.age():.1f} s"
            raise Refused(
                "stale-configuration",
                self._errors.draw_retry_after(),
                detail,
            )
        newest = self._cluster_view.configuration or cfg
        return _find_workspace(req, route, newest) if newest.workspaces else None

    def check_before_attempt(self, ctx: RequestContext) -> None:
        """Check right before an attempt that the API key may still be served."""
        cfg = self._cluster_view.configuration
        if cfg is None or cfg.workspaces is None or not ctx.req.workspace:
            return
        workspace = cfg.workspaces.find(ctx.req.api_key)
        if ctx.route.is_public:
            ctx.req.workspace = workspace.name if workspace is not None else ""
            return
        if workspace is None or workspace.name != ctx.req.workspace:
            if ctx.lost_reason:
                raise self._errors.build_error(ctx, "unknown-key")
            raise UnknownApiKey(f"key taken away configuration {cfg.version}")
        if self.confirmer is not None and not self.confirmer.may_serve_keys():
            detail = f"configuration {cfg.version} age {self.confirmer.age():.1f} s"
            raise self._errors.build_error(ctx, "stale-configuration", detail)


def _find_workspace(
    req: CallerRequest, route: Route, cfg: Configuration
) -> Workspace | None:
    """Set the workspace of a request, and return it; None if it needs none.

    Raises
    ------
    UnknownApiKey
    """
    req.workspace = ""
    workspace = cfg.workspaces.find(req.api_key) if cfg.workspaces is not None else None
    if workspace is None and not route.is_public:
        sent = "unknown" if req.api_key else "missing"
        raise UnknownApiKey(f"key {sent} configuration {cfg.version}")
    if workspace is not None:
        req.workspace = workspace.name
    return workspace
