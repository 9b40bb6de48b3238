"""Chat requests of the whole-program cases; streamed responses are read event by event."""

import http.client
import json

import processes

CHAT = "/v1/chat/completions"


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


def chat_body(model, text, max_tokens, stream=True):
    return {"model": model, "stream": stream, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}]}


class Stream:
    """One streamed chat request."""

    def __init__(self, port, key, model, text, max_tokens, deadline_ms=30_000):
        self.connection = http.client.HTTPConnection(processes.LOOPBACK, port, timeout=60)
        self.connection.request("POST", CHAT, json.dumps(chat_body(model, text, max_tokens)),
                                {"Content-Type": "application/json", "x-deadline-ms": str(deadline_ms), **bearer(key)})
        self.reply = self.connection.getresponse()
        if self.reply.status != 200:
            raise processes.Failure(
                f"chat request failed with status {self.reply.status}: {self.reply.read().decode()}")
        self.text = ""
        self.error = None
        self.finish_reason = None
        self.done = False

    def read_event(self):
        """Reads one event; returns False at the end of the stream."""
        for line in self.reply:
            line = line.decode().strip()
            if line == "data: [DONE]":
                self.done = True
            elif line.startswith("data: "):
                self.add_chunk(json.loads(line[len("data: "):]))
            else:
                continue
            return True
        return False

    def add_chunk(self, chunk):
        self.error = chunk.get("error") or self.error
        for choice in chunk.get("choices", []):
            self.text += choice.get("delta", {}).get("content") or ""
            self.finish_reason = choice.get("finish_reason") or self.finish_reason

    def read_all(self):
        while self.read_event():
            pass
        return self

    def close(self):
        self.connection.close()


def full_response(port, key, model, text, max_tokens):
    """Sends a chat request without streaming and returns the text of its response."""
    reply = processes.call(port, "POST", CHAT, chat_body(model, text, max_tokens, stream=False), bearer(key))
    if reply.status != 200:
        raise processes.Failure(f"chat request failed with status {reply.status}: {reply.body}")
    return reply.json()["choices"][0]["message"]["content"]


def wait_until_offered(system, key, model):
    """Waits until every entry instance lists the model for this API key."""
    for name, it in system.entries.items():
        processes.wait_until(f"{model} at {name}", lambda: model in processes.call(
            it["caller"], "GET", "/v1/models", headers=bearer(key)).body)
