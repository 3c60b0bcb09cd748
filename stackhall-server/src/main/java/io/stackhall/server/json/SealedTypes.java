package io.stackhall.server.json;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;
import com.fasterxml.jackson.databind.jsontype.impl.StdTypeResolverBuilder;
import java.util.Arrays;
import java.util.List;

/** Treats every sealed interface as a union of its permitted records, told apart by name. */
final class SealedTypes extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1L;
    private static final String TYPE_PROPERTY = "type";

    @Override
    public TypeResolverBuilder<?> findTypeResolver(
            MapperConfig<?> config, AnnotatedClass annotated, JavaType baseType) {
        if (!isUnion(annotated.getRawType())) {
            return super.findTypeResolver(config, annotated, baseType);
        }
        JsonTypeInfo.Value info =
                JsonTypeInfo.Value.construct(
                        JsonTypeInfo.Id.NAME,
                        JsonTypeInfo.As.PROPERTY,
                        TYPE_PROPERTY,
                        null,
                        false,
                        null);
        return new StdTypeResolverBuilder().init(info, null);
    }

    @Override
    public List<NamedType> findSubtypes(Annotated annotated) {
        if (!isUnion(annotated.getRawType())) {
            return super.findSubtypes(annotated);
        }
        return Arrays.stream(annotated.getRawType().getPermittedSubclasses())
                .map(type -> new NamedType(type, type.getSimpleName()))
                .toList();
    }

    private static boolean isUnion(Class<?> type) {
        return type.isInterface() && type.isSealed();
    }
}
