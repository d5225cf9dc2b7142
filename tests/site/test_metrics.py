"""Tests of the metrics and of the pages that the platform reads."""

import asyncio

import aiohttp
from burdockrun_base import Application, Measurements
from burdockrun_site.http import async_serve_page
from burdockrun_site.listeners import open_listener
from burdockrun_site.metrics import render_metrics
from prometheus_client.parser import text_string_to_metric_families


def test_the_page_has_the_prometheus_format() -> None:
    """Guards against series that no collector can read."""
    measurements = Measurements()
    measurements.count("requests", service="wendedb", outcome="done")
    measurements.observe("request", 30, service="wendedb")
    measurements.observe("request", 9_000, service="wendedb")
    page = render_metrics(measurements).decode()
    samples = {
        (sample.name, sample.labels.get("le", "")): sample.value
        for family in text_string_to_metric_families(page)
        for sample in family.samples
    }
    assert samples["burdockrun_requests_total", ""] == 1
    assert samples["burdockrun_request_seconds_bucket", "0.05"] == 1
    assert samples["burdockrun_request_seconds_count", ""] == 2


def test_the_number_of_series_is_bounded() -> None:
    """Guards against memory use that grows with the number of label values."""
    measurements = Measurements()
    for number in range(5_000):
        measurements.count("requests", service=f"s{number}")
    assert len(measurements.counters["requests"]) <= 1_001


async def test_a_page_answers_any_request_and_closes_on_invalid_input() -> None:
    """Guards against a probe that crashes the process."""
    app = Application()
    port = 18_464
    answers = iter([(200, b"one"), (503, b"")])
    await async_serve_page(
        app, open_listener("127.0.0.1", port), lambda host, target: next(answers)
    )
    async with aiohttp.ClientSession() as session:
        for expected in (200, 503):
            async with session.get(f"http://127.0.0.1:{port}/-/readiness") as response:
                assert response.status == expected
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"\x00garbage\r\n\r\n")
    assert await asyncio.wait_for(reader.read(), 2.0) == b""
    writer.close()
    await app.async_unload()
