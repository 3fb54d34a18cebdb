"""Parses one HTTP answer, strictly, over geventhttpclient's parser.

The library's response object goes on with a second answer on the same
connection and joins the two bodies. This parser gives exactly one answer: the
header fields in their order with duplicates, interim 1xx answers left out, and
a mark when the peer sent more bytes than its answer has.
"""

import dataclasses
import typing

from geventhttpclient import response as http_response

HTTPParseError = http_response.HTTPParseError
_FIRST_FINAL_STATUS = 200
# Statuses whose answers have no body, whatever their header fields say.
_STATUSES_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a final answer.

    Attributes:
        status: Status code.
        reason: Status phrase.
        fields: Header fields in order, duplicates included.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]

    def get_field(self, name: str) -> str | None:
        """Looks up a header field.

        Args:
            name: Its name in lower case.

        Returns:
            The first value, or None.
        """
        for found, value in self.fields:
            if found.lower() == name:
                return value
        return None


class AnswerParser(http_response.HTTPResponse):
    """Takes the bytes of one answer and gives its head and body parts."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.has_excess = False
        self.head: AnswerHead | None = None
        self._fields: list[tuple[str, str]] = []

    def _flush_header(self) -> None:
        name = self._current_header_field
        if name is not None:
            self._fields.append((name, self._current_header_value or ""))
        super()._flush_header()

    def _on_message_begin(self) -> None:
        if self.head is not None:
            raise http_response.HTTPProtocolViolationError("a second answer")
        self._fields.clear()
        super()._on_message_begin()

    def _on_headers_complete(self) -> typing.Any:
        skips_body = super()._on_headers_complete()
        status = self.get_code()
        if status >= _FIRST_FINAL_STATUS:
            self.head = AnswerHead(
                status, self.status_message or "", tuple(self._fields)
            )
        return skips_body

    def take_bytes(self, data: bytes) -> None:
        """Takes in received bytes.

        Args:
            data: The bytes; empty when the peer has closed.

        Raises:
            HTTPParseError: If they are no HTTP answer.
        """
        try:
            self.feed(data)
        except HTTPParseError:
            if not self.has_ended():
                raise
            self.has_excess = True
        if self._trailing_data_dropped:
            self.has_excess = True

    def take_body(self) -> bytes:
        """Takes the body bytes parsed so far.

        Returns:
            The bytes, which the parser no longer keeps.
        """
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def has_ended(self) -> bool:
        """Tells whether the final answer has ended.

        Returns:
            True once its declared length or its last chunk was seen.
        """
        return self.head is not None and self.message_complete

    def declares_end(self) -> bool:
        """Tells whether the head says where the answer ends.

        Returns:
            False for a body that ends with the connection, since such an
            answer cannot be told from a cut one.
        """
        head = self.head
        if head is None:
            return False
        if self.method == "HEAD" or head.status in _STATUSES_WITHOUT_BODY:
            return True
        if head.get_field("content-length") is not None:
            return True
        coding = head.get_field("transfer-encoding") or ""
        return coding.lower().rpartition(",")[2].strip() == "chunked"
