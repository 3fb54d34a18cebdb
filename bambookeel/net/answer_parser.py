"""A strict parser of one HTTP answer, based on geventhttpclient's parser.

The response object of the library also parses a second answer on the same
connection and joins the two bodies. This parser accepts exactly one answer. It
keeps the header fields in order, duplicates included, skips interim 1xx
answers, and records whether the peer sent bytes after the end of the answer.
"""

import dataclasses
import typing

from geventhttpclient import response as http_response

HTTPParseError = http_response.HTTPParseError
_FIRST_FINAL_STATUS = 200
# Answers with these statuses have no body, whatever their header fields say.
_STATUSES_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a final answer.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        fields: Names and values of the header fields in order, duplicates
            included.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]

    def get_field(self, name: str) -> str | None:
        """Returns the value of a header field.

        Args:
            name: Name of the field in lower case.

        Returns:
            The first value, or None if the field is missing.
        """
        for field_name, value in self.fields:
            if field_name.lower() == name:
                return value
        return None


class AnswerParser(http_response.HTTPResponse):
    """Parses the received bytes of one answer into its head and its body.

    Attributes:
        has_excess: Whether bytes were received after the end of the answer.
        head: Head of the final answer, once it has been parsed completely.
    """

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

    def parse_bytes(self, data: bytes) -> None:
        """Parses received bytes.

        Args:
            data: The bytes; empty if the peer has closed the connection.

        Raises:
            HTTPParseError: If the bytes are not a valid HTTP answer.
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
        """Removes and returns the body bytes that have been parsed so far.

        Returns:
            The bytes since the last call; empty if there are none.
        """
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def has_ended(self) -> bool:
        """Checks whether the final answer has been received to its end.

        Returns:
            True once the body has its declared length or its last chunk has
            been parsed.
        """
        return self.head is not None and self.message_complete

    def declares_end(self) -> bool:
        """Checks whether the head declares where the answer ends.

        Returns:
            False for a body that ends when the connection is closed, since such
            an answer cannot be distinguished from a truncated one.
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
