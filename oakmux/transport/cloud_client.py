"""Client of the cloud: catalogue, list of instances, rentals and returns, within a rate limit."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from oakmux import constants
from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.codec.cloud import (
    PATH_CATALOGUE,
    PATH_INSTANCES,
    PATH_RETURN,
    is_no_capacity,
    parse_catalogue,
    parse_instance_page,
    parse_rental,
    rental_body,
    return_body,
)
from oakmux.core import messages
from oakmux.core.instances import ListedInstance
from oakmux.settings import Settings
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from oakmux.transport.rate_limit import TokenBucket, pause

log = logging.getLogger("oakmux.cloud")


class CloudClient:
    """Carries out the core's cloud operations one at a time, within the rate limit."""

    def __init__(self, settings: Settings, put: Callable[[messages.Command], None]) -> None:
        self.addr = settings.services.cloud
        self.put = put
        # One controller holds the fleet role; the others only read the catalogue occasionally.
        self.bucket = TokenBucket(
            settings.facts.cloud.rps * constants.CLOUD_RATE_SHARE, constants.CLOUD_BURST_S
        )
        self.request_lock = asyncio.Lock()
        self.client = Client(constants.CLOUD_CONNECTIONS)
        self._handlers: dict[
            type[messages.CloudOperation], Callable[[Any], Awaitable[tuple[int, Any]]]
        ] = {
            messages.ListInstances: self._list,
            messages.RentInstances: self._rent,
            messages.ReturnInstances: self._return,
        }

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        async with self.request_lock:  # in order of arrival: the most urgent rentals come first
            while (wait := self.bucket.wait(loop.time(), 1)) > 0:
                await asyncio.sleep(wait)
            self.bucket.consume(1)
        data = b"" if body is None else encode(body)
        status, answer = await self.client.request(
            self.addr,
            method,
            path,
            data,
            constants.CLOUD_TIMEOUT_S,
            constants.MAX_STORE_BODY_BYTES,
        )
        return status, decode(answer) if answer else None

    async def carry_out(self, operation: messages.CloudOperation) -> None:
        """Make the request of an operation and report its outcome to the core."""
        kind = type(operation).__name__
        try:
            status, result = await self._handlers[type(operation)](operation)
        except RequestNotSentError:
            status, result = 503, None
        except (NoResponseError, MalformedError) as error:
            log.info("event=cloud_no_response kind=%s why=%s", kind, error)
            status, result = 0, None
        except Exception:
            log.exception("event=cloud_request_failed kind=%s", kind)
            status, result = 0, None
        self.put(messages.OperationDone(operation.operation, status, result))

    async def _list(self, _: messages.ListInstances) -> tuple[int, Any]:
        instances: list[ListedInstance] = []
        last_name = ""
        while True:
            path = f"{PATH_INSTANCES}?page={constants.LIST_PAGE_ITEMS}"
            if last_name:
                path += f"&since={quote(last_name)}"
            status, answer = await self._call("GET", path)
            if status != 200:
                return status, None
            items, has_more = parse_instance_page(answer)
            instances += items
            if not has_more or not items:
                return 200, instances
            last_name = items[-1].name

    async def _rent(self, operation: messages.RentInstances) -> tuple[int, Any]:
        body = rental_body(
            operation.name,
            operation.type_name,
            operation.zone,
            operation.spot,
            operation.count,
        )
        status, answer = await self._call("POST", PATH_INSTANCES, body)
        if status == 200:
            return 200, parse_rental(answer)
        return status, "no capacity" if is_no_capacity(answer) else None

    async def _return(self, operation: messages.ReturnInstances) -> tuple[int, Any]:
        body = return_body(operation.names)
        status, _ = await self._call("POST", PATH_RETURN, body)
        return status, None

    async def poll_catalogue(self) -> None:
        """Read the catalogue every CATALOGUE_INTERVAL_S, for ever."""
        failures = 0
        while True:
            try:
                status, answer = await self._call("GET", PATH_CATALOGUE)
                if status == 200:
                    self.put(messages.UpdateMachineTypes(parse_catalogue(answer)))
                    failures = 0
                    await asyncio.sleep(constants.CATALOGUE_INTERVAL_S)
                    continue
            except (RequestNotSentError, NoResponseError, MalformedError) as error:
                log.info("event=catalogue_failed why=%s", error)
            except Exception:
                log.exception("event=catalogue_failed")
            await pause(failures)
            failures += 1
