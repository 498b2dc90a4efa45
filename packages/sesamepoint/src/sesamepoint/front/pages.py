"""HTTP pages for the platform, operators and peers, such as readiness, metrics and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint import events
from sesamepoint.http1.messages import RejectedRequestError
from sesamepoint.http1.server import CallerGoneError, ServerConn, ServerLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint.http1.transport import Transport

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
TEXT = ((b'content-type', b'text/plain; charset=utf-8'),)


class Page:
    """Provides the status and text of one path."""

    def __init__(self, text: Callable[[], bytes], is_healthy: Callable[[], bool]) -> None:
        """Take callbacks for the text and for the status: 200 if the second returns true, else 503."""
        self._text = text
        self._is_healthy = is_healthy

    def render(self) -> tuple[int, bytes]:
        """Return the current status and text."""
        return (STATUS_OK if self._is_healthy() else STATUS_UNAVAILABLE), self._text()


class Pages:
    """Serves pages by path, on connections apart from those of callers."""

    def __init__(self, pages: Mapping[str, Page]) -> None:
        """Serve ``pages``, which has a page for each path."""
        self._pages = pages

    async def serve(self, transport: Transport) -> None:
        """Serve one connection to its end; never raises."""
        conn = ServerConn(transport, ServerLimits)
        try:
            await self._serve_requests(conn)
        except (CallerGoneError, RejectedRequestError):
            return
        except Exception as exc:
            events.log_event(events.CONNECTION_BROKE, cause=repr(exc))
        finally:
            transport.close()

    async def _serve_requests(self, conn: ServerConn) -> None:
        while await conn.wait_for_request():
            message = await conn.read_request()
            path = message.head.target.decode('latin-1').partition('?')[0]
            page = self._pages.get(path)
            status, text = page.render() if page else (STATUS_NOT_FOUND, b'no such page')
            await conn.send_whole(status, TEXT, text)
            if not conn.reusable:
                return
            conn.start_next_cycle()


__all__ = ('Page', 'Pages')
