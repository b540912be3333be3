"""HTTP server (hypercorn on trio) and HTTP client (httpcore)."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import httpcore
import hypercorn.trio
import trio
from hypercorn.config import Config

KEEP_ALIVE_S = 60.0
# A PoolTimeout ends the wait for a free connection, so nothing was sent.
_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


@dataclass(frozen=True)
class Tls:
    """Certificate and key files of an HTTP listener."""

    certfile: str
    keyfile: str


async def serve_http(
    app: Any,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    *,
    graceful_s: float = 10.0,
    tls: Tls | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI app until a shutdown is requested.

    Running requests are then given graceful_s to finish.

    Args:
        app: The ASGI application.
        host: IP address to bind.
        port: TCP port to bind; 0 lets the system choose.
        shutdown: Waits for the request to shut down; when it returns, the
            server stops accepting connections.
        graceful_s: Seconds that running requests have to finish.
        tls: Certificate and key of the listener; None for plain HTTP.
        task_status: Receives the bound addresses.
    """
    config = Config()
    config.bind = [f"{host}:{port}"]
    config.graceful_timeout = graceful_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    # Limit of the request line and headers: 64 KiB.
    config.h11_max_incomplete_size = 64 << 10
    if tls is not None:
        config.certfile = tls.certfile
        config.keyfile = tls.keyfile
    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
        mode="asgi",
    )


class HttpConnectError(Exception):
    """No connection could be opened; no byte of the request was sent."""


class HttpConnectionLostError(Exception):
    """The connection was lost, or the reply is not valid HTTP.

    The request may have been sent and run.
    """


# Texts of httpcore's errors about a connection that ends before the reply does.
_EARLY_END_TEXTS = ("Server disconnected", "closed connection")


class HttpMalformedReplyError(HttpConnectionLostError):
    """The server sent bytes that are not a valid HTTP reply.

    The request may have been sent and run.
    """


class HttpTimeoutError(Exception):
    """No complete reply within the timeout.

    The request may have run. The timeout includes the connection setup, so it
    is also possible that nothing was sent.
    """


@dataclass(frozen=True)
class HttpReply:
    """A complete HTTP reply."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body.

        Raises:
            ValueError: The body is not JSON.
            RecursionError: The JSON is nested too deeply.
        """
        return json.loads(self.body)


@dataclass(frozen=True)
class DeferredBody:
    """A request body that is built immediately before it is sent.

    Opening a connection can take long. A body that contains the remaining time
    is therefore built when the connection is open.

    Attributes:
        length: Exact number of bytes that build returns.
        build: Returns the body; an exception that it raises ends the call.
    """

    length: int
    build: Callable[[], bytes]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as a single chunk."""
        yield self.build()


class HttpClient:
    """Calls one HTTP server over a bounded pool of persistent connections."""

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEP_ALIVE_S,
        )

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float,
    ) -> HttpReply:
        """Sends one request and reads the complete reply.

        Args:
            method: HTTP method.
            path: Path and query.
            body: A DeferredBody, or a value to send as JSON; None for no body.
            timeout_s: Timeout of the whole call, including the connection
                setup.

        Raises:
            HttpConnectError: No connection could be opened; nothing was sent.
            HttpConnectionLostError: The connection was lost, or the reply is
                not valid HTTP (HttpMalformedReplyError); the request may have
                run.
            HttpTimeoutError: No complete reply within timeout_s; the request
                may have run.
        """
        content: bytes | AsyncIterator[bytes]
        if isinstance(body, DeferredBody):
            content, length = body.chunks(), body.length
        else:
            content = b"" if body is None else json.dumps(body).encode()
            length = len(content)
        headers: dict[bytes | str, bytes | str] = {
            "Host": self._address,
            "Content-Length": str(length),
            "Content-Type": "application/json",
        }
        try:
            with trio.fail_after(max(timeout_s, 0.0)):
                response = await self._pool.request(
                    method,
                    f"http://{self._address}{path}",
                    headers=headers,
                    content=content,
                )
        except _CONNECT_ERRORS as error:
            raise HttpConnectError(str(error)) from error
        except trio.TooSlowError as error:
            raise HttpTimeoutError(f"no reply in {timeout_s:.3f} s") from error
        except httpcore.RemoteProtocolError as error:
            if _is_malformed(error):
                raise HttpMalformedReplyError(str(error)) from error
            raise HttpConnectionLostError(str(error)) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise HttpConnectionLostError(str(error)) from error
        except httpcore.TimeoutException as error:
            # No timeouts are passed to httpcore, so none is expected.
            raise HttpTimeoutError(str(error)) from error
        return HttpReply(response.status, response.content)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()


def _is_malformed(error: httpcore.RemoteProtocolError) -> bool:
    """Returns whether the server sent wrong bytes instead of closing.

    httpcore uses one error for both, and only its text tells them apart.
    """
    return not any(text in str(error) for text in _EARLY_END_TEXTS)
