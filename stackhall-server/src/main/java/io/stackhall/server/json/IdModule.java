package io.stackhall.server.json;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.Id;
import io.stackhall.core.id.IdempotencyKey;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.WorkId;
import io.stackhall.core.id.ZoneId;
import java.io.IOException;
import java.util.function.Function;

/** Writes ids as plain strings. */
final class IdModule {

    private IdModule() {}

    static SimpleModule create() {
        SimpleModule module = new SimpleModule("ids");
        module.addSerializer(Id.class, new IdSerializer());
        add(module, AttemptToken.class, AttemptToken::new);
        add(module, CustomerId.class, CustomerId::new);
        add(module, ChangeId.class, ChangeId::new);
        add(module, HostId.class, HostId::new);
        add(module, IdempotencyKey.class, IdempotencyKey::new);
        add(module, ModelId.class, ModelId::new);
        add(module, RequestId.class, RequestId::new);
        add(module, ServiceName.class, ServiceName::new);
        add(module, UpstreamId.class, UpstreamId::new);
        add(module, WorkId.class, WorkId::new);
        add(module, ZoneId.class, ZoneId::new);
        return module;
    }

    private static <T extends Id> void add(
            SimpleModule module, Class<T> type, Function<String, T> constructor) {
        module.addDeserializer(type, new IdDeserializer<>(constructor));
    }

    /** Writes the text of an id. */
    private static final class IdSerializer extends JsonSerializer<Id> {
        @Override
        public void serialize(Id id, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeString(id.value());
        }
    }

    /** Reads an id from its text. */
    private static final class IdDeserializer<T extends Id> extends JsonDeserializer<T> {
        private final Function<String, T> constructor;

        IdDeserializer(Function<String, T> constructor) {
            this.constructor = constructor;
        }

        @Override
        public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return constructor.apply(in.getValueAsString());
        }
    }
}
