package io.arrowarch.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Fields of JSON objects by name and type. */
public final class JsonFieldsTest {
  @Test
  public void readsEveryType() throws IOException {
    JsonFields fields =
        JsonFields.parse(
            """
            {"text":"t","whole":7,"number":0.5,"flag":true,"object":{"inner":"i"},
             "texts":["a","b"],"objects":[{"n":1},{"n":2}],"nothing":null}
            """);

    assertThat(fields.text("text")).isEqualTo("t");
    assertThat(fields.whole("whole")).isEqualTo(7);
    assertThat(fields.number("number")).isEqualTo(0.5);
    assertThat(fields.number("whole")).isEqualTo(7.0);
    assertThat(fields.flag("flag")).isTrue();
    assertThat(fields.object("object").text("inner")).isEqualTo("i");
    assertThat(fields.texts("texts")).containsExactly("a", "b");
    assertThat(fields.objects("objects")).extracting(inner -> inner.whole("n")).contains(1L, 2L);
    assertThat(fields.has("nothing")).isFalse();
    assertThat(fields.names()).hasSize(8);
  }

  @Test
  public void absentFieldsAreEmptyOrNamed() throws IOException {
    JsonFields fields = JsonFields.parse("{}");

    assertThat(fields.optionalText("a")).isEmpty();
    assertThat(fields.optionalWhole("a")).isEmpty();
    assertThat(fields.optionalObject("a")).isEmpty();
    assertThat(fields.flag("a")).isFalse();
    assertThat(fields.texts("a")).isEmpty();
    assertThat(fields.objects("a")).isEmpty();
    assertThatThrownBy(() -> fields.text("a")).hasMessage("a is missing");
    assertThatThrownBy(() -> fields.whole("a")).hasMessage("a is missing");
    assertThatThrownBy(() -> fields.number("a")).hasMessage("a is missing");
    assertThatThrownBy(() -> fields.object("a")).hasMessage("a is missing");
  }

  @Test
  public void otherTypesAreRefusedByName() throws IOException {
    JsonFields fields = JsonFields.parse("{\"a\":[1],\"b\":1.5,\"c\":\"x\"}");

    assertThatThrownBy(() -> fields.text("a")).hasMessageContaining("a has another type");
    assertThatThrownBy(() -> fields.texts("a")).hasMessageContaining("a has another type");
    assertThatThrownBy(() -> fields.whole("b")).hasMessage("b is no whole number");
    assertThatThrownBy(() -> fields.flag("c")).hasMessageContaining("c has another type");
    assertThatThrownBy(() -> fields.objects("c")).hasMessageContaining("c has another type");
  }

  @DataProvider
  public Object[][] noObjects() {
    return new Object[][] {
      {""}, {"[]"}, {"1"}, {"{"}, {"{} {}"}, {"{\"a\":1,\"a\":2}"}, {"null"}, {"{} x"}
    };
  }

  @Test(dataProvider = "noObjects", expectedExceptions = IOException.class)
  public void whatIsNoSingleObjectIsRefused(String text) throws IOException {
    JsonFields.parse(text);
  }
}
