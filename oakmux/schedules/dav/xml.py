"""Reads and writes the XML of WebDAV (RFC 4918) and CalDAV (RFC 4791).

Requests with a document type declaration, entities or external references are rejected.
"""

from typing import NamedTuple
from xml.etree.ElementTree import Element, ParseError, SubElement, register_namespace, tostring

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

DAV, CAL, CS = "{DAV:}", "{urn:ietf:params:xml:ns:caldav}", "{http://calendarserver.org/ns/}"
register_namespace("D", "DAV:")
register_namespace("C", CAL[1:-1])
register_namespace("CS", CS[1:-1])


class XmlError(ValueError):
    """An invalid request body; the message says why."""


class Prop(NamedTuple):
    """The value of a property: text, child elements, or both."""

    text: str = ""
    children: tuple[Element, ...] = ()


def read(body: bytes, *tags: str) -> Element:
    """Return the root element of a body; raises XmlError unless its tag is one of `tags`."""
    try:
        root = fromstring(body, forbid_dtd=True)
    except (ParseError, DefusedXmlException, ValueError, LookupError) as error:
        raise XmlError(f"not acceptable XML: {type(error).__name__}") from None
    if root.tag not in tags:
        raise XmlError("not what this method takes")
    return root


def requested_properties(root: Element) -> list[str] | None:
    """Return the names of the requested properties, or None for all."""
    props = root.find(DAV + "prop")
    if props is None:
        return None
    return [child.tag for child in props if isinstance(child.tag, str)]


def element(tag: str, text: str = "", *children: Element) -> Element:
    """Return an element with a text and children."""
    node = Element(tag)
    node.text = text or None
    node.extend(children)
    return node


def href(path: str) -> Element:
    """Return an href element."""
    return element(DAV + "href", path)


class Multistatus:
    """A multistatus response: the status of several resources."""

    def __init__(self) -> None:
        self.root = Element(DAV + "multistatus")

    def add_found(self, path: str, properties: dict[str, Prop], names: list[str] | None) -> None:
        """Add a resource: the requested properties that it has (200) and lacks (404)."""
        requested = list(properties) if names is None else names
        response = SubElement(self.root, DAV + "response")
        response.append(href(path))
        for status, tags in (
            ("200 OK", [tag for tag in requested if tag in properties]),
            ("404 Not Found", [tag for tag in requested if tag not in properties]),
        ):
            if not tags and (status != "200 OK" or requested):
                continue
            stat = SubElement(response, DAV + "propstat")
            props = SubElement(stat, DAV + "prop")
            for tag in tags:
                value = properties.get(tag, Prop())
                props.append(element(tag, value.text, *value.children))
            stat.append(element(DAV + "status", f"HTTP/1.1 {status}"))

    def add_missing(self, path: str) -> None:
        """Add a resource that does not exist or was deleted."""
        response = SubElement(self.root, DAV + "response")
        response.append(href(path))
        response.append(element(DAV + "status", "HTTP/1.1 404 Not Found"))

    def add_refused(self, path: str, names: list[str]) -> None:
        """Add a resource whose property changes are refused (403)."""
        response = SubElement(self.root, DAV + "response")
        response.append(href(path))
        stat = SubElement(response, DAV + "propstat")
        stat.append(element(DAV + "prop", "", *(element(tag) for tag in names)))
        stat.append(element(DAV + "status", "HTTP/1.1 403 Forbidden"))

    def body(self, token: str = "") -> bytes:
        """Return the document, with the sync token if there is one."""
        if token:
            self.root.append(element(DAV + "sync-token", token))
        return render(self.root)


def render(root: Element) -> bytes:
    """Return an element as an XML document."""
    return tostring(root, encoding="utf-8", xml_declaration=True)


def error(condition: str, text: str = "") -> bytes:
    """Return an error body: the failed condition and a human-readable reason."""
    root = Element(DAV + "error")
    root.append(element(condition))
    if text:
        root.append(element(DAV + "responsedescription", text))
    return render(root)
